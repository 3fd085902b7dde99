// Command amaranthwell runs an entry instance. For operators it also checks and
// publishes the tables of routes and pools, shows the configuration in force and its
// changes, submits jobs, extracts from logs what happened to a request, and shows where a job
// would go.
//
// Exit codes:
//
//	0  done; for publish, the edit was accepted; for submit, the job is complete
//	1  the files are invalid, the edit was refused, or the job failed or did not run;
//	   for where, the job would be refused, or the route or an amount is invalid
//	2  the command line is wrong, or a file cannot be read
//	3  unknown: the log, the entry instances or, for where, the leader gave no answer or an
//	   incomplete one;
//	   for entry and serve, the instance could not run
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/amaranthwell/amaranthwell/caller"
	"github.com/amaranthwell/amaranthwell/logservice"
	"github.com/amaranthwell/amaranthwell/operator"
)

// version is the version that --version prints. The linker may set it.
var version = "devel"

// The exit codes.
const (
	exitDone    = 0
	exitRefused = 1
	exitUsage   = 2
	exitUnknown = 3
)

const description = `Checks, publishes and shows the tables of routes and pools.

Exit codes: 0 done, accepted or complete; 1 invalid, refused or failed; 2 wrong command line or unreadable file; 3 unknown because no answer came, or an entry instance could not run.`

func main() {
	env := environment{stdout: os.Stdout, stderr: os.Stderr, newLog: newLog}
	os.Exit(run(os.Args[1:], env))
}

// environment holds the outputs of the commands and the constructor of log clients.
type environment struct {
	stdout, stderr io.Writer
	newLog         func(url string) (operator.Log, error)
}

// logOptions are the options of commands that use the log.
type logOptions struct {
	Log string `long:"log" value-name:"URL" required:"true" description:"URL of the platform's log"`
}

// run executes one command line and returns its exit code.
func run(args []string, env environment) int {
	var options struct {
		Version bool `long:"version" description:"Print the version and exit"`
	}
	parser := flags.NewNamedParser("amaranthwell", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = description
	parser.SubcommandsOptional = true
	parser.CommandHandler = execute
	mustAdd(parser.AddGroup("Options", "", &options))
	addCommands(parser, env)
	_, err := parser.ParseArgs(args)
	if err != nil {
		return reportError(err, env)
	}
	if options.Version {
		fmt.Fprintln(env.stdout, "amaranthwell", version)
		return exitDone
	}
	if parser.Active == nil {
		parser.WriteHelp(env.stderr)
		return exitUsage
	}
	return exitDone
}

// execute runs command if there is one. It returns an error for surplus arguments.
func execute(command flags.Commander, args []string) error {
	if len(args) > 0 {
		message := fmt.Sprintf("unknown command or argument %q", args[0])
		return &flags.Error{Type: flags.ErrUnknownCommand, Message: message}
	}
	if command == nil {
		return nil
	}
	return command.Execute(args)
}

func addCommands(parser *flags.Parser, env environment) {
	mustAdd(parser.AddCommand("entry", "Run an entry instance",
		"Runs an entry instance until SIGTERM. It then completes its jobs and tasks and exits.",
		&entryCommand{}))
	mustAdd(parser.AddCommand("serve", "Run an entry instance on the platform",
		"Runs an entry instance on the platform, with the platform's settings for this process, until SIGTERM. It then answers the jobs that it has accepted and exits.",
		&serveCommand{}))
	mustAdd(parser.AddCommand("submit", "Submit a job",
		"Submits a job to an entry instance and prints a summary of its answer.",
		&submitCommand{}))
	mustAdd(parser.AddCommand("check", "Check tables",
		"Checks TOML files of routes and pools together and prints every error.",
		&checkCommand{env: env}))
	mustAdd(parser.AddCommand("publish", "Publish tables",
		"Checks TOML files and publishes them together as the new configuration. The edit's ID is printed first: if the outcome is unknown, the edit can be published again under this ID and is applied only once.",
		&publishCommand{env: env}))
	mustAdd(parser.AddCommand("show", "Show the configuration in force",
		"Reads the log and prints the current revision.",
		&showCommand{env: env}))
	mustAdd(parser.AddCommand("audit", "Show the changes of the configuration",
		"Reads the log and prints each edit: its offset, its author, the revision that it was made from, whether it was accepted, and what it changed or why it was refused.",
		&auditCommand{env: env}))
	mustAdd(parser.AddCommand("explain", "Show what happened to a request",
		"Reads the logs of instances and prints in order of time the lines about one request, with the events of that time about leaders, the store and the workers that ran its tasks.",
		&explainCommand{env: env}))
	mustAdd(parser.AddCommand("where", "Show where a job would go now",
		"Asks an instance on the platform, and the leader to which it would forward the job, where a job would go now and why, without submitting it.",
		&whereCommand{env: env}))
}

// mustAdd panics if the options of a command are declared incorrectly.
func mustAdd[T any](_ T, err error) {
	if err != nil {
		panic(err)
	}
}

// reportError prints err and returns its exit code. A request for help is not an
// error: its text goes to the standard output.
func reportError(err error, env environment) int {
	var usage *flags.Error
	if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
		fmt.Fprintln(env.stdout, usage.Message)
		return exitDone
	}
	fmt.Fprintln(env.stderr, err)
	return exitCode(err)
}

// exitCode returns the exit code for err. An error of a type that is not listed here
// leaves the outcome unknown.
func exitCode(err error) int {
	var usage *flags.Error
	var file *fileError
	var check *operator.CheckError
	var record *operator.RecordError
	var logRefusal *refusedError
	var url *logservice.ConfigError
	var request *caller.RequestError
	var incomplete *incompleteError
	var where *whereError
	switch {
	case errors.As(err, &usage), errors.As(err, &file), errors.As(err, &url):
		return exitUsage
	case errors.As(err, &check), errors.As(err, &record), errors.As(err, &logRefusal), errors.As(err, &request):
		return exitRefused
	case errors.As(err, &where) && where.refused:
		return exitRefused
	case errors.As(err, &incomplete) && incomplete.answer.Status != caller.Unknown:
		return exitRefused
	default:
		return exitUnknown
	}
}

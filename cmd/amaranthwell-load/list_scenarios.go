package main

import "fmt"

// scenariosCommand prints the names and descriptions of the scenarios.
type scenariosCommand struct{}

// Execute runs the command.
func (*scenariosCommand) Execute([]string) error {
	for _, s := range scenarios(newSapicaFleet(0)) {
		fmt.Printf("%-22s %s\n", s.name, s.description)
	}
	return nil
}

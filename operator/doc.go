// Package operator speaks to the operators of the system: it holds the two
// tables that they edit, the checks of an edit, the history that gives every
// instance the same verdict on each edit, and the operators' HTTP port.
package operator

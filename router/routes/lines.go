package routes

import "tarragonvalve.example/core/ident"

// Lines holds the lines of the entries in a configuration's text, which count from 1, in their order. 0 is unknown.
type Lines struct {
	Routes   []int
	Services []ServiceLine
	Accounts []int
	// Version and Limits are 0 if the configuration lacks them.
	Version int
	Limits  int
}

// ServiceLine is the line of a service. A document holds only the last service of an id.
type ServiceLine struct {
	ID   ident.ServiceID
	Line int
}

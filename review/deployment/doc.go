// Package deployment starts a small deployment on loopback addresses for the cases of the review: acacialockd processes with
// the settings of the deploy file, and stand-ins of the platform's store, the workers and the consumers. The stand-ins run in
// the process of the case.
package deployment

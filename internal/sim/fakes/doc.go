// Package fakes has scripted stand-ins of the outside systems for tests:
// a state service, a cloud and workers, each speaking the published protocol.
package fakes

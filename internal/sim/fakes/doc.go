// Package fakes has in-memory fakes of the outside systems for tests and load tools: a key-value store, a cloud and
// workers. Each speaks the published protocol over loopback, and can be told to fail in set ways.
package fakes

// Package fakes contains in-memory fakes of the external systems for tests and load tools: a key-value store, a cloud and
// workers. Each speaks the published protocol on loopback addresses. The store and the cloud can inject faults.
package fakes

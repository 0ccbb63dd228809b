// Package wire holds the JSON messages of the protocols that the service speaks with users, workers, the cloud and the state
// service. Identifiers are the usual terms of cluster scheduling; the names on the wire, which differ, stand only in the tags
// and constants here. A field whose name ends in S, MS, GB or KB is in seconds, milliseconds, gigabytes or kilobytes.
package wire

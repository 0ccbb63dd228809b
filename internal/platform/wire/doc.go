// Package wire defines the JSON messages of the protocols between the service and its users, its workers, the cloud and the
// state service. Identifiers are the usual terms of cluster scheduling. The names on the wire differ from them and occur only in
// the tags and constants of this package. A field whose name ends in S, MS, GB or KB is in seconds, milliseconds, gigabytes or
// kilobytes.
package wire

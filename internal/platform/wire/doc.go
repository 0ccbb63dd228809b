// Package wire holds the JSON messages of the protocols that the service
// speaks with users, workers, the cloud and the state service. The names in
// Go are the field's usual ones; the words of the wire stand only in the tags
// and constants here.
package wire

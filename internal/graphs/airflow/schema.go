package airflow

import _ "embed"

// schema describes the JSON of a graph (dag.Graph).
//
//go:embed schema.json
var schema []byte

package airflow

import _ "embed"

// schema is the JSON schema of a graph (dag.Graph).
//
//go:embed schema.json
var schema []byte

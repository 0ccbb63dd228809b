package airflow

import (
	"encoding/json"
	"errors"
	"io"
	"strconv"

	"poppypass/internal/graphs/dag"
	"poppypass/internal/graphs/runner"
	"poppypass/internal/platform/httpjson"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// register is the body of a PUT that registers a definition that was already uploaded in parts. If Definition is empty,
// the body is the graph itself. The type's name is part of the answer to a malformed body, so it must not change.
type register struct {
	Definition string `json:"definition"` // the hash of the definition
	Parts      int    `json:"parts"`      // the number of its parts
	Paused     *bool  `json:"is_paused"`
}

// putDAG registers a graph. A graph that is registered already keeps its paused state unless the body has is_paused.
func (h *Handler) putDAG(r *request) (any, error) {
	body, err := h.storedDefinition(r)
	if err != nil {
		return nil, err
	}
	order := runner.Command{Graph: r.dagID(), Def: body.Definition, Parts: body.Parts, Paused: body.Paused}
	answer, err := h.execute(r, runner.CommandRegister, order)
	if err != nil {
		return nil, err
	}
	view, err := h.getDAG(r)
	if err != nil {
		return nil, err
	}
	return response{answer.status, view}, nil
}

// storedDefinition reads the body of a PUT. If the body is the graph itself, storedDefinition stores the graph and
// returns the hash and number of parts of the stored definition.
func (h *Handler) storedDefinition(r *request) (register, error) {
	var body register
	raw, err := httpjson.ReadBody(r.Request, wire.MaxBody)
	if err != nil {
		return body, tooLarge("%s; upload the graph in parts", httpjson.OneLine(err))
	}
	if err := json.Unmarshal(raw, &body); err != nil {
		return body, badRequest("%s", httpjson.OneLine(err))
	}
	if body.Definition != "" {
		return body, nil
	}
	graph, err := parseGraph(raw, r.team)
	if err != nil {
		return body, badRequest("%s", httpjson.OneLine(err))
	}
	body.Definition, body.Parts, err = h.Reader.StoreDefinition(r.Context(), graph)
	return body, err
}

// parseGraph parses and validates a graph. A graph without a team is assigned to the given team.
func parseGraph(raw []byte, team string) (*dag.Graph, error) {
	graph, err := dag.ParseJSON("graph", raw)
	if err != nil {
		return nil, err
	}
	if graph.Team == "" {
		graph.Team = team
	}
	_, err = dag.NewPlan(graph)
	return graph, err
}

// putPart stores one part of a definition.
func (h *Handler) putPart(r *request) (any, error) {
	part, errPart := strconv.Atoi(r.PathValue("part"))
	parts, errParts := strconv.Atoi(r.query.Get("of"))
	raw, errBody := io.ReadAll(io.LimitReader(r.Body, tuning.GraphPartMaxBytes+1)) // StorePart refuses more than tuning.GraphPartMaxBytes
	if errors.Join(errPart, errParts, errBody) != nil {
		return nil, badRequest("%s", runner.ErrInvalidPart)
	}
	err := h.Reader.StorePart(r.Context(), r.PathValue("hash"), part, parts, raw)
	if errors.Is(err, runner.ErrInvalidPart) {
		return nil, badRequest("%s", err)
	}
	return nil, err
}

// patchDAG pauses or resumes a graph.
func (h *Handler) patchDAG(r *request) (any, error) {
	var body struct {
		Paused *bool `json:"is_paused"`
	}
	if err := r.read(&body); err != nil {
		return nil, err
	}
	if body.Paused == nil {
		return nil, badRequest("is_paused is missing: nothing else of a DAG can be changed by this")
	}
	if _, err := h.execute(r, runner.CommandPause, runner.Command{Graph: r.dagID(), Paused: body.Paused}); err != nil {
		return nil, err
	}
	return h.getDAG(r)
}

// deleteDAG deletes a graph and its runs.
func (h *Handler) deleteDAG(r *request) (any, error) {
	_, err := h.execute(r, runner.CommandDeleteGraph, runner.Command{Graph: r.dagID()})
	return nil, err
}

// Package fencingtoken divides the fencing tokens among the terms of the leaders.
//
// A worker refuses every direct request whose token is below the highest that it has seen. A leader can therefore make
// a machine refuse its own earlier requests, and all copies of them, by a higher token. Each term has a range of tokens
// for that. The number of the term is its first token. The transaction that begins a term stores the term's last token
// as the last one used, so a later term begins above it.
package fencingtoken

// PerTerm is the largest number of tokens of a term. A leader that takes two a second for one machine has enough for 15
// years.
const PerTerm = 1_000_000_000

// Last returns the last token of a term.
func Last(term uint64) uint64 { return (term/PerTerm + 1) * PerTerm }

// FirstOfPrevious returns the first token of the term before a term; 0 if there was none. A term of an earlier build of
// the program had a single token.
func FirstOfPrevious(term uint64) uint64 {
	lastUsed := term - 1
	if lastUsed == 0 || lastUsed%PerTerm != 0 {
		return lastUsed
	}
	return lastUsed - PerTerm + 1
}

// InTerm reports whether a token is in the range of a term.
func InTerm(token, term uint64) bool { return token >= term && token <= Last(term) }

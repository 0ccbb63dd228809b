package dag

// StepSet is a set of steps, given by their indexes: bit i%8 of byte i/8 is set for step i.
type StepSet []byte

// Has reports whether the set contains a step.
func (s StepSet) Has(step int) bool { return step/8 < len(s) && s[step/8]&(1<<(step%8)) != 0 }

// Add adds a step.
func (s *StepSet) Add(step int) {
	for len(*s) <= step/8 {
		*s = append(*s, 0)
	}
	(*s)[step/8] |= 1 << (step % 8)
}

// Remove removes a step. The length of the set does not change, so it still shows that the set was not always empty.
func (s StepSet) Remove(step int) {
	if s.Has(step) {
		s[step/8] &^= 1 << (step % 8)
	}
}

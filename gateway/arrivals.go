package gateway

// arrivals counts the calls of one request that have reached back ends, or may have.
type arrivals struct {
	// prompts are those that had its prompt read, runs all others, taken up or not.
	prompts, runs int
	// promptRead is set once an engine has read the prompt.
	promptRead bool
}

// beyondFirst returns how many of them count as repeats. The first prompt that an engine takes up belongs
// to the first run. One that was rejected, or whose outcome is unknown, is an arrival like any other.
func (a arrivals) beyondFirst() int {
	counted := a.prompts + a.runs
	if a.promptRead {
		counted--
	}
	return max(0, counted-1)
}

// withRun returns the counts once one more call that runs the request has arrived.
func (a arrivals) withRun() arrivals {
	a.runs++
	return a
}

// withPrompt returns the counts once the prompt has arrived once more, read or not.
func (a arrivals) withPrompt() arrivals {
	a.prompts++
	return a
}

package coordinator

import (
	"time"

	"github.com/reelrun/reelrun/estimate"
	"github.com/reelrun/reelrun/ledger"
	"github.com/reelrun/reelrun/peer/peerpb"
)

// LearnedModel is what a coordinator has learned about a service. All nodes store it, and the first
// node that syncs with a new coordinator sends it. Otherwise the new coordinator would use initial
// estimates until dozens of runs have ended, and would overfill or underfill the engines' memory
// for several seconds.
type LearnedModel struct {
	Output  estimate.LearnedOutput
	Prefill estimate.Sums
	Rate    ledger.LearnedRate
}

// Learned returns what has been learned about a service.
func (c *Coordinator) Learned(service string) LearnedModel {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.state(service)
	return LearnedModel{
		Output: current.output.Learned(), Prefill: current.prefill.model.Learned(), Rate: current.decode.Learned(),
	}
}

// Adopt takes over the model of the previous coordinator, except the parts that this one has
// learned itself.
func (c *Coordinator) Adopt(service string, learned LearnedModel) {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.state(service)
	current.output.Adopt(learned.Output)
	current.prefill.model.Adopt(learned.Prefill)
	current.decode.Adopt(learned.Rate)
}

func encodeLearned(learned LearnedModel) *peerpb.LearnedModel {
	return &peerpb.LearnedModel{
		OutputSamples: int64(learned.Output.Samples), Output: encodeSums(learned.Output.Sums), OutputSquares: learned.Output.Squares,
		Reading: encodeSums(learned.Prefill), Answers: int64(learned.Rate.Samples),
		Tokens: learned.Rate.Tokens, Seconds: learned.Rate.Seconds, StartUs: learned.Rate.FirstTokenDelay.Microseconds(),
	}
}

func decodeLearned(encoded *peerpb.LearnedModel) LearnedModel {
	return LearnedModel{
		Output: estimate.LearnedOutput{
			Samples: int(encoded.GetOutputSamples()), Sums: decodeSums(encoded.GetOutput()), Squares: encoded.GetOutputSquares(),
		},
		Prefill: decodeSums(encoded.GetReading()),
		Rate: ledger.LearnedRate{
			Samples: int(encoded.GetAnswers()), Tokens: encoded.GetTokens(), Seconds: encoded.GetSeconds(),
			FirstTokenDelay: time.Duration(encoded.GetStartUs()) * time.Microsecond,
		},
	}
}

func encodeSums(sums estimate.Sums) *peerpb.WeightedSums {
	return &peerpb.WeightedSums{Weight: sums.Weight, X: sums.X, Y: sums.Y, Xx: sums.XX, Xy: sums.XY}
}

func decodeSums(encoded *peerpb.WeightedSums) estimate.Sums {
	return estimate.Sums{
		Weight: encoded.GetWeight(), X: encoded.GetX(), Y: encoded.GetY(), XX: encoded.GetXx(), XY: encoded.GetXy(),
	}
}

package escrow

import "math"

// halfPower returns 0.5 to the power of x.
func halfPower(x float64) float64 { return math.Exp2(-x) }

// Package mutat generates inputs for tests of decoders: the same ones in every run.
package mutat

import "math/rand/v2"

// Count is the number of inputs that a test of a decoder uses.
const Count = 20000

// maxSize bounds the size of the inputs in bytes.
const maxSize = 4096

// Inputs calls check with Count inputs that are derived from the seeds.
func Inputs(seeds [][]byte, check func(raw []byte)) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range Count {
		raw := append([]byte(nil), seeds[rng.IntN(len(seeds))]...)
		for range 1 + rng.IntN(4) {
			raw = change(rng, raw, seeds[rng.IntN(len(seeds))])
		}
		check(raw[:min(len(raw), maxSize)])
	}
}

// special holds bytes that have a meaning in some encoding.
const special = "\r\n \x00\"\\[]{}-.,:0179\x7f\x80\xff"

// change makes one change to an input.
func change(rng *rand.Rand, raw, other []byte) []byte {
	if len(raw) == 0 {
		return append(raw, special[rng.IntN(len(special))])
	}
	pos := rng.IntN(len(raw))
	end := min(len(raw), pos+1+rng.IntN(8))
	switch rng.IntN(6) {
	case 0:
		raw[pos] = byte(rng.IntN(256))
	case 1:
		raw[pos] = special[rng.IntN(len(special))]
	case 2:
		return append(raw[:pos:pos], raw[end:]...)
	case 3:
		return append(raw[:pos:pos], append([]byte{special[rng.IntN(len(special))]}, raw[pos:]...)...)
	case 4:
		return append(raw[:end:end], raw[pos:]...)
	case 5:
		from := rng.IntN(len(other) + 1)
		return append(raw[:pos:pos], other[from:]...)
	}
	return raw
}

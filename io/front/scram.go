package front

import (
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/xdg-go/scram"
)

const verifierPrefix = "SCRAM-SHA-256$"

// MakeVerifier derives the SCRAM-SHA-256 verifier of a password, in the format of
// Postgres and of the configuration document.
func MakeVerifier(password, salt string, iterations int) (string, error) {
	cl, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		return "", errors.Wrap(err, "password")
	}
	cr, err := cl.GetStoredCredentialsWithError(scram.KeyFactors{Salt: salt, Iters: iterations})
	if err != nil {
		return "", errors.Wrap(err, "derive verifier")
	}
	enc := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("%s%d:%s$%s:%s", verifierPrefix, iterations, enc([]byte(salt)), enc(cr.StoredKey), enc(cr.ServerKey)), nil
}

// parseVerifier parses a verifier in the format of MakeVerifier.
func parseVerifier(text string) (scram.StoredCredentials, error) {
	var cr scram.StoredCredentials
	body, ok := strings.CutPrefix(text, verifierPrefix)
	factors, keys, ok2 := strings.Cut(body, "$")
	iters, salt, ok3 := strings.Cut(factors, ":")
	stored, server, ok4 := strings.Cut(keys, ":")
	if !ok || !ok2 || !ok3 || !ok4 {
		return cr, errors.New("malformed verifier")
	}
	num, err := strconv.Atoi(iters)
	if err != nil {
		return cr, errors.Wrap(err, "iterations")
	}
	raw := make([][]byte, 0, 3)
	for _, part := range []string{salt, stored, server} {
		dec, err := base64.StdEncoding.DecodeString(part)
		if err != nil {
			return cr, errors.Wrap(err, "base64")
		}
		raw = append(raw, dec)
	}
	cr.KeyFactors = scram.KeyFactors{Salt: string(raw[0]), Iters: num}
	cr.StoredKey = raw[1]
	cr.ServerKey = raw[2]
	return cr, nil
}

package entry

import (
	"crypto/sha256"
	"net/http"
	"strings"

	"oriolerelay/errkind"
)

// credentials maps the hashes of bearer tokens to teams and operators. Looking
// up a hash avoids a timing side channel: the time taken does not depend on how
// much of a guessed token is correct.
type credentials struct {
	callers   map[[sha256.Size]byte]string
	operators map[[sha256.Size]byte]string
}

func newCredentials(callers []CallerToken, operators []OperatorToken) credentials {
	c := credentials{
		callers:   make(map[[sha256.Size]byte]string, len(callers)),
		operators: make(map[[sha256.Size]byte]string, len(operators)),
	}
	for _, t := range callers {
		c.callers[sha256.Sum256([]byte(t.Token))] = t.Team
	}
	for _, t := range operators {
		c.operators[sha256.Sum256([]byte(t.Token))] = t.Name
	}
	return c
}

// caller returns the team of the request's token.
func (c credentials) caller(r *http.Request) (string, error) {
	return lookupToken(r, c.callers, c.operators, "an operator token cannot be used for the callers' API")
}

// operator returns the name of the operator of the request's token.
func (c credentials) operator(r *http.Request) (string, error) {
	return lookupToken(r, c.operators, c.callers, "a caller token cannot be used for the operators' API")
}

func lookupToken(r *http.Request, want, other map[[sha256.Size]byte]string, mismatchDetail string) (string, error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return "", errkind.New(errkind.Unauthenticated, "the Authorization header is missing a bearer token")
	}
	key := sha256.Sum256([]byte(token))
	if name, ok := want[key]; ok {
		return name, nil
	}
	if _, ok := other[key]; ok {
		return "", errkind.New(errkind.Forbidden, "%s", mismatchDetail)
	}
	return "", errkind.New(errkind.Unauthenticated, "the bearer token is unknown")
}

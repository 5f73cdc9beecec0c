package forward

import (
	"errors"
	"regexp"
	"strconv"
	"strings"
)

// The grammar of RFC 9110 and RFC 9112 for responses. Empty reasons may lack the blank before them.
var (
	referenceStatusLine = regexp.MustCompile(`^HTTP/1\.([0-9]) ([1-5][0-9]{2})(?: [\t \x21-\x7e\x80-\xff]*)?$`)
	referenceField      = regexp.MustCompile("^([!#$%&'*+\\-.^_`|~0-9A-Za-z]+):([\\t \\x21-\\x7e\\x80-\\xff]*)$")
	referenceFold       = regexp.MustCompile(`^[\t ][\t \x21-\x7e\x80-\xff]*$`)
	referenceChunkLine  = regexp.MustCompile(`^([0-9A-Fa-f]{1,16})[\t ]*(?:;[^\r\n]*)?$`)
)

var errReference = errors.New("the response is not valid by RFC 9110 and RFC 9112")

// latin1 maps each byte to one character, so that the expressions match bytes.
func latin1(text string) string {
	characters := make([]rune, len(text))
	for position := range len(text) {
		characters[position] = rune(text[position])
	}
	return string(characters)
}

// referenceHead is a head as the reference reads it.
type referenceHead struct {
	isHTTP10            bool
	status              int
	lengths, encodings  []string
	hasLength, hasCoded bool
}

// referenceBody returns the body of the first response that isn't an interim one, or an error if a part of it is not
// valid. It shares no code with the product or net/http.
func referenceBody(text string) (string, error) {
	for {
		headText, rest, hasEnd := strings.Cut(text, "\r\n\r\n")
		if !hasEnd {
			return "", errReference
		}
		head, err := readReferenceHead(headText)
		if err != nil {
			return "", err
		}
		if head.status >= 200 {
			return head.body(rest)
		}
		text = rest
	}
}

func readReferenceHead(text string) (referenceHead, error) {
	var head referenceHead
	var current *[]string
	for number, line := range strings.Split(text, "\r\n") {
		line = latin1(line)
		if number == 0 {
			found := referenceStatusLine.FindStringSubmatch(line)
			if found == nil {
				return head, errReference
			}
			head.isHTTP10 = found[1] == "0"
			head.status, _ = strconv.Atoi(found[2])
			continue
		}
		if number > 1 && referenceFold.MatchString(line) {
			if current != nil {
				(*current)[len(*current)-1] += " " + strings.Trim(line, " \t")
			}
			continue
		}
		found := referenceField.FindStringSubmatch(line)
		if found == nil {
			return head, errReference
		}
		current = nil
		switch strings.ToLower(found[1]) {
		case "content-length":
			current = &head.lengths
		case "transfer-encoding":
			current = &head.encodings
		}
		if current != nil {
			*current = append(*current, strings.Trim(found[2], " \t"))
		}
	}
	head.hasLength, head.hasCoded = len(head.lengths) > 0, len(head.encodings) > 0
	return head, nil
}

func (h referenceHead) body(rest string) (string, error) {
	switch {
	case h.hasCoded && (h.hasLength || h.isHTTP10 || len(h.encodings) != 1 || !strings.EqualFold(strings.Trim(h.encodings[0], " "), "chunked")):
		return "", errReference
	case h.status == 204 || h.status == 304:
		return "", nil
	case h.hasCoded:
		return referenceChunks(rest)
	case !h.hasLength:
		return rest, nil
	}
	length, err := strconv.ParseUint(strings.Trim(h.lengths[0], " "), 10, 63)
	for _, other := range h.lengths {
		if strings.Trim(other, " ") != strings.Trim(h.lengths[0], " ") {
			return "", errReference
		}
	}
	if err != nil || uint64(len(rest)) < length {
		return "", errReference
	}
	return rest[:length], nil
}

// referenceChunks returns the data of chunks up to the last one, whose trailer has to be valid. Its lines may end with a
// line feed only: no part of a trailer is passed on.
func referenceChunks(rest string) (string, error) {
	var body strings.Builder
	for {
		line, after, hasEnd := strings.Cut(rest, "\r\n")
		found := referenceChunkLine.FindStringSubmatch(latin1(line))
		if !hasEnd || found == nil {
			return "", errReference
		}
		length, err := strconv.ParseUint(found[1], 16, 63)
		if err != nil {
			return "", errReference
		}
		if length == 0 {
			return body.String(), checkReferenceTrailer(after)
		}
		if uint64(len(after)) < length+2 || after[length:length+2] != "\r\n" {
			return "", errReference
		}
		body.WriteString(after[:length])
		rest = after[length+2:]
	}
}

func checkReferenceTrailer(text string) error {
	for number := 0; ; number++ {
		line, rest, hasEnd := strings.Cut(text, "\n")
		line = latin1(strings.TrimSuffix(line, "\r"))
		switch {
		case !hasEnd:
			return errReference
		case line == "":
			return nil
		case !referenceField.MatchString(line) && (number == 0 || !referenceFold.MatchString(line)):
			return errReference
		}
		text = rest
	}
}

package dynamo

import (
	"regexp"
	"strings"
)

var (
	spaces      = regexp.MustCompile(`\s+`)
	notExists   = regexp.MustCompile(`^attribute_not_exists ?\( ?(\w+) ?\)$`)
	equals      = regexp.MustCompile(`^(\w+) ?= ?(:\w+)$`)
	greaterThan = regexp.MustCompile(`^(\w+) ?> ?(:\w+)$`)
	beginsWith  = regexp.MustCompile(`^begins_with ?\( ?(\w+) ?, ?(:\w+) ?\)$`)
	andWord     = regexp.MustCompile(`(?i) and `)
)

// clauses replaces attribute name placeholders in an expression, splits it at AND and strips
// parentheses around the parts.
func clauses(q *request, expr string) []string {
	for name, attr := range q.ExpressionAttributeNames {
		expr = strings.ReplaceAll(expr, name, attr)
	}
	expr = strings.TrimSpace(spaces.ReplaceAllString(expr, " "))
	var out []string
	for _, c := range andWord.Split(expr, -1) {
		c = strings.TrimSpace(c)
		if strings.HasPrefix(c, "(") && strings.HasSuffix(c, ")") {
			c = strings.TrimSpace(c[1 : len(c)-1])
		}
		out = append(out, c)
	}
	return out
}

// condition parses the condition of a PutItem. The returned function reports whether it holds
// for the existing item, which is nil if there is none.
func condition(q *request) (func(Item) bool, *Error) {
	if q.ConditionExpression == "" {
		return func(Item) bool { return true }, nil
	}
	cs := clauses(q, q.ConditionExpression)
	if len(cs) != 1 {
		return nil, newError("ValidationException", "condition %q is not supported", q.ConditionExpression)
	}
	if m := notExists.FindStringSubmatch(cs[0]); m != nil {
		return func(i Item) bool {
			_, ok := i[m[1]]
			return !ok
		}, nil
	}
	m := equals.FindStringSubmatch(cs[0])
	if m == nil {
		return nil, newError("ValidationException", "condition %q is not supported", q.ConditionExpression)
	}
	want, ok := q.ExpressionAttributeValues[m[2]]
	if !ok {
		return nil, newError("ValidationException", "no value for %s", m[2])
	}
	return func(i Item) bool { return equalValues(i[m[1]], want) }, nil
}

// equalValues compares two numbers or two strings; other values are never equal.
func equalValues(a, b Value) bool {
	switch {
	case a.N != nil && b.N != nil:
		return *a.N == *b.N
	case a.S != nil && b.S != nil:
		return *a.S == *b.S
	default:
		return false
	}
}

// keyCondition parses the key condition and the paging of a Query.
func keyCondition(q *request) (selection, *Error) {
	s := selection{
		table:   q.TableName,
		start:   q.ExclusiveStartKey.text("sk"),
		limit:   q.Limit,
		forward: q.ScanIndexForward == nil || *q.ScanIndexForward,
	}
	for _, c := range clauses(q, q.KeyConditionExpression) {
		switch {
		case equals.MatchString(c):
			m := equals.FindStringSubmatch(c)
			if m[1] != "pk" {
				return s, unsupportedKeyCondition(q)
			}
			s.pk = q.ExpressionAttributeValues.text(m[2])
		case greaterThan.MatchString(c):
			s.after = q.ExpressionAttributeValues.text(greaterThan.FindStringSubmatch(c)[2])
		case beginsWith.MatchString(c):
			s.prefix = q.ExpressionAttributeValues.text(beginsWith.FindStringSubmatch(c)[2])
		default:
			return s, unsupportedKeyCondition(q)
		}
	}
	if s.pk == "" {
		return s, unsupportedKeyCondition(q)
	}
	return s, nil
}

func unsupportedKeyCondition(q *request) *Error {
	return newError("ValidationException", "key condition %q is not supported", q.KeyConditionExpression)
}

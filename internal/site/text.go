package site

import (
	"bytes"
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"google.golang.org/protobuf/reflect/protoreflect"

	"lichenhitch/internal/site/sitepb"
)

// maxDepth is the maximum nesting depth of messages. Valid files are three levels deep.
const maxDepth = 32

// scanner finds the positions of the fields in the file. prototext reports positions only for its own errors, and txtpbfmt's
// parser reports the first line of the comments before a field. prototext validates the same text.
type scanner struct {
	raw      []byte
	pos      int
	root     []*field
	err      error
	unclosed int            // offset of an unclosed message, or -1
	offsets  map[string]int // offsets of the fields by path
}

// field is one field of a message with one value. Each element of a list is a field of its own.
type field struct {
	name    string
	offset  int    // offset of the name, or of the value for an element of a list
	value   string // text of a scalar value, as written
	message bool
	fields  []*field
}

// fileDescriptor describes the message that a site file consists of.
var fileDescriptor = (*sitepb.File)(nil).ProtoReflect().Descriptor()

// errSyntax means that a text is not in protobuf text format. prototext reports the details.
var errSyntax = errors.New("not in protobuf text format")

// scan scans a text up to its first syntax error.
func scan(raw []byte) *scanner {
	t := &scanner{raw: raw, unclosed: -1, offsets: map[string]int{}}
	t.root, t.err = t.parseMessage(0, 0)
	t.recordOffsets("", t.root, fileDescriptor)
	return t
}

// recordOffsets records the offsets of the fields of a message. Unknown fields are left out.
func (t *scanner) recordOffsets(prefix string, fields []*field, d protoreflect.MessageDescriptor) {
	count := map[string]int{}
	for _, f := range fields {
		fd := d.Fields().ByTextName(f.name)
		if fd == nil {
			continue
		}
		path := prefix + f.name
		if fd.IsList() {
			if count[f.name] == 0 {
				t.offsets[path] = f.offset
			}
			path += "[" + strconv.Itoa(count[f.name]) + "]"
			count[f.name]++
		}
		t.offsets[path] = f.offset
		if fd.Kind() == protoreflect.MessageKind {
			t.recordOffsets(path+".", f.fields, fd.Message())
		}
	}
}

// isPresent reports whether a field is present in the file.
func (t *scanner) isPresent(path string) bool { _, ok := t.offsets[path]; return ok }

// fault returns a fault at the position of a field or, if the field is missing, of the message that should contain it.
func (t *scanner) fault(path, message, remedy string) *Fault {
	offset, ok := 0, false
	for p := path; !ok && p != ""; {
		if offset, ok = t.offsets[p]; !ok {
			p = p[:max(strings.LastIndexByte(p, '.'), 0)]
		}
	}
	f := t.faultAt(offset, message, remedy)
	f.Field = path
	return f
}

func (t *scanner) faultAt(offset int, message, remedy string) *Fault {
	before := t.raw[:offset]
	line := bytes.Count(before, []byte("\n")) + 1
	column := utf8.RuneCount(before[bytes.LastIndexByte(before, '\n')+1:]) + 1
	return &Fault{Line: line, Column: column, Message: message, Remedy: remedy}
}

var protoErrorPosition = regexp.MustCompile(`^proto:\s*(?:syntax error )?\(line (\d+):(\d+)\):\s*`)

// syntaxFaults returns the reasons why a text is not a site file: the faults that the scanner finds and, unless one of these is
// on the same line, the error of prototext, which reports only the first one.
func (t *scanner) syntaxFaults(err error) Faults {
	message := strings.ReplaceAll(err.Error(), "\u00a0", " ")
	protoFault := &Fault{Line: 1, Column: 1, Message: strings.TrimPrefix(message, "proto: "), Remedy: "correct the text"}
	if m := protoErrorPosition.FindStringSubmatch(message); m != nil {
		protoFault.Line, _ = strconv.Atoi(m[1])
		protoFault.Column, _ = strconv.Atoi(m[2])
		protoFault.Message = message[len(m[0]):]
		protoFault.Remedy = "correct the text at this place; the format is protobuf text: name: value, and name { ... } for messages"
	}
	fs := t.checkFields(nil, "", t.root, fileDescriptor)
	if t.unclosed >= 0 {
		fs = append(fs, t.faultAt(t.unclosed, "this message is not closed", "close it, and check that no other message is closed twice"))
	} else if t.err != nil {
		fs = append(fs, t.faultAt(t.pos, "not in protobuf text format", "correct the text at or before this place"))
	}
	if !slices.ContainsFunc(fs, func(f *Fault) bool { return f.Line == protoFault.Line }) {
		fs = append(fs, protoFault)
	}
	return fs
}

// checkFields appends the faults of fields that can be found without their context: unknown names, repetition and wrong types.
func (t *scanner) checkFields(faults Faults, prefix string, fields []*field, d protoreflect.MessageDescriptor) Faults {
	count := map[string]int{}
	report := func(f *field, path, message, remedy string) {
		fault := t.faultAt(f.offset, message, remedy)
		fault.Field = path
		faults = append(faults, fault)
	}
	for _, f := range fields {
		path, fd := prefix+f.name, d.Fields().ByTextName(f.name)
		if fd == nil {
			report(f, path, "no such field", "remove it, or correct its name to one of "+fieldNames(d))
			continue
		}
		if fd.IsList() {
			path += "[" + strconv.Itoa(count[f.name]) + "]"
		} else if count[f.name] == 1 {
			report(f, path, "set twice", "set it once")
		}
		count[f.name]++
		switch {
		case !f.message && f.value == "": // the value is incomplete
		case f.message != (fd.Kind() == protoreflect.MessageKind):
			want := "a value, such as " + f.name + ": ..."
			if !f.message {
				want = "a message, such as " + f.name + " { ... }"
			}
			report(f, path, "expects "+want, "write it in this form")
		case f.message:
			faults = t.checkFields(faults, path+".", f.fields, fd.Message())
		default:
			if want := expectedScalar(f.value, fd); want != "" {
				report(f, path, fmt.Sprintf("%.80s is not %s", f.value, want), "give "+want)
			}
		}
	}
	return faults
}

func fieldNames(d protoreflect.MessageDescriptor) string {
	var list []string
	for i := range d.Fields().Len() {
		list = append(list, d.Fields().Get(i).TextName())
	}
	return strings.Join(list, ", ")
}

// expectedScalar returns "" if a value fits the type of its field, and a description of the expected value if not.
func expectedScalar(value string, fd protoreflect.FieldDescriptor) string {
	switch fd.Kind() {
	case protoreflect.StringKind:
		if value[0] != '"' && value[0] != '\'' {
			return "a quoted string"
		}
	case protoreflect.BoolKind:
		if !slices.Contains([]string{"true", "false", "True", "False", "t", "f", "0", "1"}, value) {
			return "true or false"
		}
	case protoreflect.Uint32Kind:
		if _, err := strconv.ParseUint(value, 0, 32); err != nil {
			return "an integer from 0 to 4294967295"
		}
	case protoreflect.DoubleKind:
		if _, err := strconv.ParseFloat(strings.TrimRight(value, "fF"), 64); err != nil && !strings.Contains(strings.ToLower(value), "inf") {
			return "a number"
		}
	case protoreflect.EnumKind:
		values := fd.Enum().Values()
		if _, err := strconv.Atoi(value); err == nil || values.ByName(protoreflect.Name(value)) != nil {
			return ""
		}
		var list []string
		for i := 1; i < values.Len(); i++ { // the first value stands for an unset field
			list = append(list, string(values.Get(i).Name()))
		}
		return "one of " + strings.Join(list, ", ")
	}
	return ""
}

// parseMessage parses fields up to the end character '}' or '>', or up to the end of the text if end is 0.
func (t *scanner) parseMessage(end byte, depth int) (fields []*field, err error) {
	if depth > maxDepth {
		return nil, errSyntax
	}
	for {
		switch c := t.skipSpace(); {
		case c == end && (c != 0 || t.pos == len(t.raw)):
			t.pos = min(t.pos+1, len(t.raw))
			return fields, nil
		case c == ',' || c == ';':
			t.pos++
		default:
			more, err := t.parseField(depth)
			fields = append(fields, more...)
			if err != nil {
				return fields, err
			}
		}
	}
}

func (t *scanner) parseField(depth int) ([]*field, error) {
	offset := t.pos
	name := t.readWord()
	if name == "" && t.skipSpace() == '[' { // the name of an extension; a site file has none
		if n := bytes.IndexByte(t.raw[t.pos:], ']'); n > 0 {
			name = string(t.raw[t.pos : t.pos+n+1])
			t.pos += n + 1
		}
	}
	if name == "" {
		return nil, errSyntax
	}
	if t.skipSpace() == ':' {
		t.pos++
	}
	if t.skipSpace() != '[' {
		f, err := t.parseValue(name, offset, depth)
		return []*field{f}, err
	}
	var list []*field
	for t.pos++; ; {
		switch t.skipSpace() {
		case ']':
			t.pos++
			return list, nil
		case ',':
			t.pos++
		default:
			f, err := t.parseValue(name, t.pos, depth)
			if list = append(list, f); err != nil {
				return list, err
			}
		}
	}
}

func (t *scanner) parseValue(name string, offset, depth int) (*field, error) {
	f := &field{name: name, offset: offset}
	var err error
	switch c := t.skipSpace(); c {
	case '{', '<':
		t.pos++
		f.message = true
		opened := t.pos - 1
		if f.fields, err = t.parseMessage(c+2, depth+1); err != nil && t.pos == len(t.raw) { // '}' and '>'
			t.unclosed = opened
		}
	case '"', '\'':
		start := t.pos
		for c = t.skipSpace(); c == '"' || c == '\''; c = t.skipSpace() { // adjacent strings are concatenated
			if err = t.skipString(c); err != nil {
				break
			}
		}
		if err == nil {
			f.value = string(t.raw[start:t.pos])
		}
	default:
		if c == '-' {
			t.pos++
			f.value = "-"
			t.skipSpace()
		}
		word := t.readWord()
		if f.value += word; word == "" {
			f.value, err = "", errSyntax
		}
	}
	return f, err
}

// skipString skips a quoted string. If the string is not closed, it fails and the position stays at its start.
func (t *scanner) skipString(quote byte) error {
	start := t.pos
	for t.pos++; t.pos < len(t.raw) && t.raw[t.pos] != '\n'; t.pos++ {
		switch t.raw[t.pos] {
		case '\\':
			t.pos++
		case quote:
			t.pos++
			return nil
		}
	}
	t.pos = start
	return errSyntax
}

// readWord reads a name or a number, and returns "" if there is none.
func (t *scanner) readWord() string {
	start := t.pos
	for t.pos < len(t.raw) {
		c := t.raw[t.pos]
		exponent := (c == '+' || c == '-') && t.pos > start && t.raw[start] <= '9' && t.raw[t.pos-1]|0x20 == 'e'
		if c != '_' && c != '.' && (c < '0' || c > '9') && (c|0x20 < 'a' || c|0x20 > 'z') && !exponent {
			break
		}
		t.pos++
	}
	return string(t.raw[start:t.pos])
}

// skipSpace skips blanks and comments and returns the next character without consuming it, or 0 at the end.
func (t *scanner) skipSpace() byte {
	for ; t.pos < len(t.raw); t.pos++ {
		switch c := t.raw[t.pos]; c {
		case ' ', '\n', '\r', '\t':
		case '#':
			if n := bytes.IndexByte(t.raw[t.pos:], '\n'); n >= 0 {
				t.pos += n
			} else {
				t.pos = len(t.raw) - 1
			}
		default:
			return c
		}
	}
	return 0
}

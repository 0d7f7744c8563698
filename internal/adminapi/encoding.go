package adminapi

import (
	"fmt"
	"math"
	"reflect"
	"strings"
	"unicode"
)

// encoding converts messages to maps.
type encoding struct {
	fieldName func(reflect.StructField) (name string, omitEmpty bool)
	number    func(float64) any
}

// wireEncoding uses the names of the json tags. It leaves infinities and NaN to structpb, which can encode them.
var wireEncoding = encoding{fieldName: wireName, number: func(n float64) any { return n }}

// descriptiveEncoding uses the names of the Go fields in snake case, as commands print them, and strings for numbers
// that JSON lacks.
var descriptiveEncoding = encoding{
	fieldName: func(f reflect.StructField) (string, bool) { return snakeCase(f.Name), false },
	number: func(n float64) any {
		if math.IsInf(n, 0) || math.IsNaN(n) {
			return fmt.Sprint(n)
		}
		return n
	},
}

// Describe returns the fields of a message as commands print them: under the names of the Go fields in snake case.
func Describe(message any) map[string]any { return descriptiveEncoding.message(message) }

// encode returns the fields of a message for the wire. A nil slice is encoded as an empty list; a nil pointer is left
// out.
func encode(message any) map[string]any { return wireEncoding.message(message) }

func (e encoding) message(message any) map[string]any {
	fields := map[string]any{}
	e.structFields(reflect.ValueOf(message), fields)
	return fields
}

func (e encoding) structFields(v reflect.Value, fields map[string]any) {
	for k := range v.NumField() {
		field, value := v.Type().Field(k), v.Field(k)
		if value.Kind() == reflect.Pointer {
			if value.IsNil() {
				continue
			}
			value = value.Elem()
		}
		if field.Anonymous {
			e.structFields(value, fields)
			continue
		}
		name, omitEmpty := e.fieldName(field)
		if omitEmpty && v.Field(k).IsZero() {
			continue
		}
		fields[name] = e.value(value)
	}
}

func (e encoding) value(v reflect.Value) any {
	switch v.Kind() {
	case reflect.Struct:
		fields := map[string]any{}
		e.structFields(v, fields)
		return fields
	case reflect.Slice:
		list := make([]any, v.Len())
		for k := range list {
			list[k] = e.value(v.Index(k))
		}
		return list
	case reflect.Bool:
		return v.Bool()
	case reflect.String:
		return v.String()
	case reflect.Int:
		return float64(v.Int())
	case reflect.Uint32, reflect.Uint64:
		return float64(v.Uint())
	case reflect.Float64:
		return e.number(v.Float())
	}
	// Messages are types of this package, so this is a programming error.
	panic(fmt.Sprintf("adminapi: cannot encode a message field of type %v", v.Type()))
}

// snakeCase converts a Go name to snake case. A run of capitals is one word: WorkMS becomes work_ms.
func snakeCase(name string) string {
	var b strings.Builder
	for k, c := range name {
		if unicode.IsUpper(c) && k > 0 && unicode.IsLower(rune(name[k-1])) {
			b.WriteByte('_')
		}
		b.WriteRune(unicode.ToLower(c))
	}
	return b.String()
}

// decode sets the fields of a message. A field that is missing or null keeps its zero value, and unknown ones are
// ignored, so that tools and controllers of different versions work together. A value of the wrong type is an error
// that names the field.
func decode(fields map[string]any, message any) error {
	return decodeStruct(fields, reflect.ValueOf(message).Elem())
}

func decodeStruct(fields map[string]any, v reflect.Value) error {
	for k := range v.NumField() {
		field, value := v.Type().Field(k), v.Field(k)
		if field.Anonymous {
			if err := decodeStruct(fields, target(value)); err != nil {
				return err
			}
			continue
		}
		name, _ := wireName(field)
		encoded := fields[name]
		if encoded == nil {
			continue
		}
		if err := decodeValue(encoded, target(value)); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

// target returns the value to decode into: the field itself, or a new value that the pointer in the field points to.
func target(v reflect.Value) reflect.Value {
	if v.Kind() != reflect.Pointer {
		return v
	}
	v.Set(reflect.New(v.Type().Elem()))
	return v.Elem()
}

// decodeValue sets v to a value of the wire.
func decodeValue(encoded any, v reflect.Value) error {
	switch x := encoded.(type) {
	case bool:
		if v.Kind() == reflect.Bool {
			v.SetBool(x)
			return nil
		}
	case string:
		if v.Kind() == reflect.String {
			v.SetString(x)
			return nil
		}
		if n, ok := nonFinite[x]; ok && v.Kind() == reflect.Float64 {
			v.SetFloat(n)
			return nil
		}
	case float64:
		return decodeNumber(x, v)
	case []any:
		if v.Kind() == reflect.Slice {
			return decodeList(x, v)
		}
	case map[string]any:
		if v.Kind() == reflect.Struct {
			return decodeStruct(x, v)
		}
	}
	return fmt.Errorf("%v is no %v", encoded, v.Type())
}

// nonFinite maps structpb's strings for the numbers that JSON lacks.
var nonFinite = map[string]float64{"Infinity": math.Inf(1), "-Infinity": math.Inf(-1), "NaN": math.NaN()}

func decodeNumber(x float64, v reflect.Value) error {
	switch v.Kind() {
	case reflect.Float64:
		v.SetFloat(x)
	case reflect.Int:
		v.SetInt(int64(x))
	case reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(x))
	default:
		return fmt.Errorf("%v is no %v", x, v.Type())
	}
	return nil
}

func decodeList(elements []any, v reflect.Value) error {
	list := reflect.MakeSlice(v.Type(), len(elements), len(elements))
	for k := range elements {
		if err := decodeValue(elements[k], list.Index(k)); err != nil {
			return err
		}
	}
	v.Set(list)
	return nil
}

// wireName returns the name of a field on the wire and whether its zero value is left out, by the json tag.
func wireName(f reflect.StructField) (name string, omitEmpty bool) {
	name, options, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name, options == "omitempty"
}

package logging

// ErrorText is an error as an attribute of a line: its text, or nothing where there is none.
func ErrorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

package logging

// ErrorText returns the text of an error for a log attribute; it is empty if err is nil.
func ErrorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

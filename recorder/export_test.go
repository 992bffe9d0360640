package recorder

// Crash ends a recorder as the operating system does when its process is killed.
func Crash(r *Recorder) { crash(r) }

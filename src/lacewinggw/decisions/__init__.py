"""Pure decisions: functions of state, events and the given time, without I/O or a clock."""

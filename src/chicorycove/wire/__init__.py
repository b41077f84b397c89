"""Messages between the processes of chicorycove, with generated code."""

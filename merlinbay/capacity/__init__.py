"""The capacity page: fits over scale runs, the plan's inputs, what each role needs beside its budget."""

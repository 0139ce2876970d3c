"""HTTP/1.1 over trio by h11: a server and a client that every front shares."""

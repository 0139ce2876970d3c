"""An HTTP/1.1 server and client over trio and h11, shared by all fronts and server transports."""

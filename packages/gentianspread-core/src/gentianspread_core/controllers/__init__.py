"""Controllers: each reads any section of the board and writes only the sections it owns."""

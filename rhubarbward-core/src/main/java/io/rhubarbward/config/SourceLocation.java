package io.rhubarbward.config;

/**
 * The location of a value or an error in a settings file.
 *
 * @param file the file's name
 * @param line the line number, from 1
 * @param column the column number, from 1
 */
public record SourceLocation(String file, int line, int column) {
    @Override
    public String toString() {
        return file + ":" + line + ":" + column;
    }
}

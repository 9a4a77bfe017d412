package io.rhubarbward.config;

/**
 * The text of a settings file, and its name.
 *
 * @param name the file's name, for messages
 * @param text the settings, as JSON with comments
 */
public record SettingsText(String name, String text) {}

package io.rhubarbward.config;

/**
 * A settings file's text and its name.
 *
 * @param name the file's name, for messages
 * @param text JSON with comments
 */
public record SettingsText(String name, String text) {}

package io.rhubarbward.config;

/** Thrown when a setting's value has the right type but is not allowed. */
public final class InvalidSettingException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    private final String mSetting;
    private final String mValue;
    private final String mExpected;

    /**
     * Reports a value that is not allowed.
     *
     * @param setting the name of the setting within its settings record
     * @param value the refused value
     * @param expected the values that are allowed
     */
    public InvalidSettingException(String setting, Object value, String expected) {
        super(setting + ": " + value + ", expected " + expected);
        mSetting = setting;
        mValue = String.valueOf(value);
        mExpected = expected;
    }

    /** Returns the name of the setting within its settings record. */
    public String setting() {
        return mSetting;
    }

    /** Returns the refused value. */
    public String value() {
        return mValue;
    }

    /** Returns a description of the values that are allowed. */
    public String expected() {
        return mExpected;
    }
}

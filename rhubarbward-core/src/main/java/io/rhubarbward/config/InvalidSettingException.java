package io.rhubarbward.config;

/** A setting whose value is of the right type and yet not allowed. */
public final class InvalidSettingException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    private final String mSetting;
    private final String mValue;
    private final String mExpected;

    /** Refuses the value of the setting, which belongs to the record that is being made. */
    public InvalidSettingException(String setting, Object value, String expected) {
        super(setting + ": " + value + ", expected " + expected);
        mSetting = setting;
        mValue = String.valueOf(value);
        mExpected = expected;
    }

    /** Returns the setting's name within its record. */
    public String setting() {
        return mSetting;
    }

    /** Returns the refused value. */
    public String value() {
        return mValue;
    }

    /** Returns what was expected. */
    public String expected() {
        return mExpected;
    }
}

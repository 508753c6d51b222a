package org.sequoiashunt.operator;

import com.beust.jcommander.Parameter;

/**
 * Command-line option {@code --help}. Filled once by the parser; confined to one thread.
 */
final class HelpOption {

    @Parameter(names = "--help", help = true, description = "Print the options of this command", order = 100)
    private boolean requested;

    boolean isRequested() {
        return requested;
    }
}

package org.marjoramnotch.commandline;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Creates the JSON form of command output. */
final class Json {
    private Json() {}

    /** Returns an empty object. */
    static ObjectNode object() {
        return JsonNodeFactory.instance.objectNode();
    }
}

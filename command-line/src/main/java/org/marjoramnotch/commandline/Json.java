package org.marjoramnotch.commandline;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Creates the JSON form of reports. */
final class Json {
    private Json() {}

    /** Returns an object without fields. */
    static ObjectNode object() {
        return JsonNodeFactory.instance.objectNode();
    }
}

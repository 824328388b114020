package org.marjoramnotch.logic.placement;

import java.util.Comparator;

/** Orders the teams that wait for slots of one pool; the least one is served next. */
@FunctionalInterface
public interface TeamOrder extends Comparator<TeamBacklog> {}

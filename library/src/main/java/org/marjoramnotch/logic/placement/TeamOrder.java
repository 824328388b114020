package org.marjoramnotch.logic.placement;

import java.util.Comparator;

/** Orders the teams that wait for slots of one pool; the smallest one is served next. */
@FunctionalInterface
public interface TeamOrder extends Comparator<TeamBacklog> {}

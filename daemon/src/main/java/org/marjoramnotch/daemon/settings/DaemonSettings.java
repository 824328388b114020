package org.marjoramnotch.daemon.settings;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.fasterxml.jackson.databind.annotation.JsonPOJOBuilder;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.logic.job.QueueOrder;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.VmId;

/**
 * All settings of one daemon.
 *
 * @param vm the VM on which it runs
 * @param availabilityZone the availability zone of the VM
 * @param roles its roles in the cell, at least one
 * @param httpHost the IP address for callers, endpoints, workers and operators
 * @param httpPort the TCP port for them; with 0 the operating system chooses one
 * @param linkHost the IP address for other daemons
 * @param linkPort the TCP port for them; with 0 the operating system chooses one
 * @param replicas the link addresses of all replicas of the cell, including this one if it is one
 * @param dataFolder the folder of a replica's log; present for the role {@link DaemonRole#REPLICA}
 * @param operatorKeySha256File the file with the SHA-256 of the operator key, see {@link
 *     OperatorKeyHash}; if absent, the operator interface is disabled
 * @param logLevel the least severe level of log lines that are written
 * @param jobOrder the order in which a leader considers waiting jobs
 * @param limits limits and intervals
 * @param formation how replicas find one another if the settings do not list them
 * @param workflow properties of the workers that accept orders, if there are any
 * @param adapter the addresses of an adapter to an outside platform
 * @param availabilityZones the availability zones of the workers that accept orders; empty if they
 *     are not listed
 */
@JsonDeserialize(builder = DaemonSettings.Builder.class)
public record DaemonSettings(
        VmId vm,
        AvailabilityZone availabilityZone,
        Set<DaemonRole> roles,
        String httpHost,
        int httpPort,
        String linkHost,
        int linkPort,
        List<ReplicaAddress> replicas,
        Optional<Path> dataFolder,
        Optional<Path> operatorKeySha256File,
        Logger.Level logLevel,
        QueueOrder jobOrder,
        DaemonLimits limits,
        Optional<FormationSettings> formation,
        Optional<WorkflowDaemonSettings> workflow,
        AdapterAddresses adapter,
        List<AvailabilityZone> availabilityZones) {

    /** Copies the collections, so that the settings are immutable. */
    public DaemonSettings {
        roles = Set.copyOf(roles);
        replicas = List.copyOf(replicas);
        availabilityZones = List.copyOf(availabilityZones);
    }

    /** Returns whether the daemon has this role. */
    public boolean has(DaemonRole role) {
        return roles.contains(role);
    }

    /** Returns a builder in which the required settings are not set. */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds settings; those with a default may be omitted. */
    @JsonPOJOBuilder(withPrefix = "")
    @JsonIgnoreProperties("$schema")
    public static final class Builder {
        private @Nullable VmId vm;
        private @Nullable AvailabilityZone availabilityZone;
        private Set<DaemonRole> roles = EnumSet.of(DaemonRole.ENTRY);
        private @Nullable String httpHost;
        private int httpPort;
        private @Nullable String linkHost;
        private int linkPort;
        private List<ReplicaAddress> replicas = List.of();
        private @Nullable Path dataFolder;
        private @Nullable Path operatorKeySha256File;
        private Logger.Level logLevel = Logger.Level.INFO;
        private QueueOrder jobOrder = QueueOrder.FAIR_SHARE;
        private DaemonLimits limits = DaemonLimits.defaults();
        private @Nullable FormationSettings formation;
        private @Nullable WorkflowDaemonSettings workflow;
        private AdapterAddresses adapter = AdapterAddresses.none();
        private List<AvailabilityZone> availabilityZones = List.of();

        private Builder() {}

        /** Sets the VM. */
        public Builder vm(VmId value) {
            vm = value;
            return this;
        }

        /** Sets the availability zone. */
        public Builder availabilityZone(AvailabilityZone value) {
            availabilityZone = value;
            return this;
        }

        /** Sets the roles in the cell. */
        public Builder roles(Set<DaemonRole> value) {
            roles = value;
            return this;
        }

        /** Sets the IP address for HTTP. */
        public Builder httpHost(String value) {
            httpHost = value;
            return this;
        }

        /** Sets the TCP port for HTTP. */
        public Builder httpPort(int value) {
            httpPort = value;
            return this;
        }

        /** Sets the IP address for links. */
        public Builder linkHost(String value) {
            linkHost = value;
            return this;
        }

        /** Sets the TCP port for links. */
        public Builder linkPort(int value) {
            linkPort = value;
            return this;
        }

        /** Sets the link addresses of all replicas. */
        public Builder replicas(List<ReplicaAddress> value) {
            replicas = value;
            return this;
        }

        /** Sets the folder of a replica's log. */
        public Builder dataFolder(Path value) {
            dataFolder = value;
            return this;
        }

        /** Sets the file with the SHA-256 of the operator key. */
        public Builder operatorKeySha256File(Path value) {
            operatorKeySha256File = value;
            return this;
        }

        /** Sets the log level. */
        public Builder logLevel(Logger.Level value) {
            logLevel = value;
            return this;
        }

        /** Sets the order of waiting jobs. */
        public Builder jobOrder(QueueOrder value) {
            jobOrder = value;
            return this;
        }

        /** Sets the limits and intervals. */
        public Builder limits(DaemonLimits value) {
            limits = value;
            return this;
        }

        /** Sets how replicas find one another. */
        public Builder formation(FormationSettings value) {
            formation = value;
            return this;
        }

        /** Sets the properties of the workers that accept orders. */
        public Builder workflow(WorkflowDaemonSettings value) {
            workflow = value;
            return this;
        }

        /** Sets the addresses of an adapter. */
        public Builder adapter(AdapterAddresses value) {
            adapter = value;
            return this;
        }

        /** Sets the availability zones of the workers that accept orders. */
        public Builder availabilityZones(List<AvailabilityZone> value) {
            availabilityZones = value;
            return this;
        }

        /** Returns the settings; the required ones must have been set. */
        public DaemonSettings build() {
            return new DaemonSettings(
                    Objects.requireNonNull(vm, "vm"),
                    Objects.requireNonNull(availabilityZone, "availabilityZone"),
                    roles,
                    Objects.requireNonNull(httpHost, "httpHost"),
                    httpPort,
                    Objects.requireNonNull(linkHost, "linkHost"),
                    linkPort,
                    formation == null ? replicas : formation.replicas(linkPort),
                    Optional.ofNullable(dataFolder),
                    Optional.ofNullable(operatorKeySha256File),
                    logLevel,
                    jobOrder,
                    limits,
                    Optional.ofNullable(formation),
                    Optional.ofNullable(workflow),
                    adapter,
                    availabilityZones);
        }
    }
}

/** Addresses and names of the local deployment. */
export type Deployment = {
  readonly folder: string;
  readonly controls: readonly DeployedControl[];
  readonly entries: readonly DeployedEntry[];
  readonly upstreams: readonly DeployedUpstream[];
  readonly callerKey: string;
  readonly tokenFile: string;
};

/** One control replica. */
type DeployedControl = {
  readonly name: string;
  readonly settingsFile: string;
  readonly operatorAddress: string;
};

/** One entry. */
type DeployedEntry = {
  readonly name: string;
  readonly settingsFile: string;
  readonly callerAddress: string;
};

/** One stand-in upstream. */
type DeployedUpstream = {
  readonly name: string;
  readonly settingsFile: string;
};

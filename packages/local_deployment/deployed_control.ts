/** One control replica of a local deployment. @public */
export type DeployedControl = {
  readonly name: string;
  readonly settingsFile: string;
  readonly operatorAddress: string;
  readonly dataFolder: string;
  /** Addresses on which the process listens, and to which peers connect. */
  readonly peerAddress: string;
  readonly advertisedAddress: string;
};

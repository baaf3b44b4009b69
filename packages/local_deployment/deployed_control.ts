/** One control replica of a local deployment. @public */
export type DeployedControl = {
  readonly name: string;
  readonly settingsFile: string;
  readonly operatorAddress: string;
  readonly dataFolder: string;
  /** Where the process listens for peers, and where they connect to. */
  readonly peerAddress: string;
  readonly advertisedAddress: string;
};

/** One entry of a local deployment. @public */
export type DeployedEntry = {
  readonly name: string;
  readonly zone: string;
  readonly settingsFile: string;
  readonly callerAddress: string;
  /** Where the process listens for peers, and where they connect to. */
  readonly peerAddress: string;
  readonly advertisedAddress: string;
};

/** One entry of a local deployment. @public */
export type DeployedEntry = {
  readonly name: string;
  readonly zone: string;
  readonly settingsFile: string;
  readonly callerAddress: string;
  /** Addresses on which the process listens, and to which peers connect. */
  readonly peerAddress: string;
  readonly advertisedAddress: string;
};

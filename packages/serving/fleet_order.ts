/** Desired number of upstreams of one kind for a service in a zone. @public */
export type FleetOrder = {
  readonly service: string;
  readonly zone: string;
  readonly isSpot: boolean;
  readonly count: number;
};

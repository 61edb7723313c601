/** Distance between two processes of the fleet. */

/** How far a peer is from this process. */
export const Distance = {
  SameZone: 'same-zone',
  SameRegion: 'same-region',
  OtherRegion: 'other-region',
} as const;
export type Distance = (typeof Distance)[keyof typeof Distance];

/** Where a process runs. */
export interface ProcessLocation {
  zone: string;
  region: string;
}

/** Distance between two places. */
export function distanceBetween(a: ProcessLocation, b: ProcessLocation): Distance {
  if (a.region !== b.region) return Distance.OtherRegion;
  return a.zone === b.zone ? Distance.SameZone : Distance.SameRegion;
}

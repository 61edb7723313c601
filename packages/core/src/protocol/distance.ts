/** Network distance between processes of the fleet. */

/** Distance of a peer from this process. */
export const Distance = {
  SameZone: 'same-zone',
  SameRegion: 'same-region',
  OtherRegion: 'other-region',
} as const;
export type Distance = (typeof Distance)[keyof typeof Distance];

/** Availability zone and region of a process. */
export interface ProcessLocation {
  zone: string;
  region: string;
}

/** Returns the distance between two processes. */
export function distanceBetween(a: ProcessLocation, b: ProcessLocation): Distance {
  if (a.region !== b.region) return Distance.OtherRegion;
  return a.zone === b.zone ? Distance.SameZone : Distance.SameRegion;
}

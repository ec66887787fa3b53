import { MovingMeans } from '@papayahill/common'
import { DEFAULT_ROUTE_TIME, ROUTE_TIME_WEIGHT } from './constants.js'

/** Moving mean of a time of each route's calls, such as that to the first event. */
export type RouteTimes = MovingMeans<string>

export const newRouteTimes = (): RouteTimes => new MovingMeans({ weight: ROUTE_TIME_WEIGHT, initial: DEFAULT_ROUTE_TIME })

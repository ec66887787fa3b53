import { orderedEndpointsBench } from './endpoints-ordered.js'

export const bench = orderedEndpointsBench('endpoints-ordered-bursts', 2)

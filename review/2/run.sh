#!/bin/sh
cd "$(dirname "$0")/../.." && exec target/review-standin endless-answer review/2/record.txt
